"""Scale runs, which measure the gateway's control work at large fleet sizes.

The main process only supervises: fake services, clients, hollow gateways and real gateways run in separate
processes. It never imports the program, so that one run can measure several checkouts of it.
"""

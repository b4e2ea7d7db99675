"""Scale runs, which measure the gateway's control work at large fleet sizes.

Fake services, clients, hollow gateways (which have no clients) and real gateways run in separate processes.
The main process only supervises them and never imports the program, so that one run can measure several
checkouts of it.
"""

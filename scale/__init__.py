"""Scale runs: what the gateway's control work costs at the sizes of a large fleet.

The leading process only supervises: fake services, clients, hollow gateways and real ones are processes of
their own. It never imports the program, so that one run can measure several checkouts of it.
"""

"""What each further customer, listed backend or counter call costs a gateway: the slopes of docs/CAPACITY.md.

Each scenario prints a table. Times are processor time, the least of several runs; bytes of memory are those
that the interpreter has allocated. `counter`, `starts` and `outage` run gateways in virtual time, with a
fixed seed.
"""

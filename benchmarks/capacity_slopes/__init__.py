"""What one customer, one listed backend or one call more costs a gateway: the slopes of docs/CAPACITY.md.

Each scenario prints a table. Times are processor time, the least of several runs; bytes of memory are those
that the interpreter has handed out. `counter`, `starts` and `cut` play gateways in virtual time, from one
seed.
"""

"""Benchmarks of the marginal cost of a customer, a listed backend and a counter call, for docs/CAPACITY.md.

Each scenario prints a table. Times are processor times, each the minimum of several runs; memory is counted
in the bytes that the interpreter has allocated. The scenarios `counter`, `starts` and `outage` simulate
gateways in virtual time, with a fixed seed.
"""

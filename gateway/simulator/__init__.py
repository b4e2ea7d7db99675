"""The adapter through which a simulator drives the policy over standard input and output.

It converts between the simulator's protocol and the policy's events and actions, and decides nothing itself.
"""

"""The network side of a gateway: sockets, timers and files; it carries out what the policy decides."""

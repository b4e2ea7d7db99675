"""The network layer of a gateway: sockets, timers and files. It carries out the policy's decisions."""

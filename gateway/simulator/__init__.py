"""The adapter that lets a simulator drive the policy over standard input and output. It decides nothing."""

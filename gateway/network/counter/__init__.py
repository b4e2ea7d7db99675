"""Client of the counter service, which keeps the totals that all gateways share."""

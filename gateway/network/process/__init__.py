"""The process of one gateway: configuration, start, reload, shutdown and descriptors."""

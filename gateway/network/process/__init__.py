"""The gateway process: configuration, startup, reload, shutdown and file descriptor limits."""

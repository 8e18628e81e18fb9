"""The entry instance: authenticates, decides, dispatches, assembles."""

"""Platform clients, settings, logging and metrics of entry and agent."""

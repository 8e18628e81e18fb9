"""Starts the command line, with handlers for signals that come early."""

from wagtailstream_runtime import startup_signals

# Where the agent writes its log.
STDERR = 2


def main() -> None:
    """Handle signals, then import and run the command line."""
    startup_signals.StartupSignals(STDERR).install()
    from wagtailstream_agent import cli

    cli.main()


if __name__ == "__main__":
    main()

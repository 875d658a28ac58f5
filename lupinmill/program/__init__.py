"""The running process: its settings, log, signals and configuration watch, and the wiring of its parts."""

"""The rehearsal lab: an emulator of what a site is made of, load, experiments and reports. An extra; nothing
that serves imports it."""

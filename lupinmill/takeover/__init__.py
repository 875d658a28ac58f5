"""Takeover of open requests after the loss of their sidecar: replicated records, ownership claims that
fence the old owner, and the rules for going on. Pure cores; no driver yet."""

"""The version of the messages between the two processes of an upgrade."""

VERSION = 1

"""Balances traffic between zones: a zone map, aggregated reports of all members, a plan that a majority
accepts, and the rules by which each member applies it. The core modules are pure; `driver` connects them."""

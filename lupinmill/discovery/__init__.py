"""Client of the discovery service: watches the list of endpoints.

`watcher` is the pure state machine that decides when to call discovery, for what, and when to cancel a call;
`driver` owns the connections and tasks."""

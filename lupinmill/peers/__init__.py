"""Who is there and who has failed, and decisions by majority. Off unless the operator's file switches it
on."""

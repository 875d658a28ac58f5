"""Export and import of the decision module's learned state, for the next process of an upgrade."""

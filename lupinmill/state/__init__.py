"""What the decisions have learned, as plain tables that another process can take up."""

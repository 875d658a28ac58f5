"""How the program's own costs grow with the fleet: hollow members, slopes, days, and the page of capacity."""

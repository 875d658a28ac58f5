"""Protection of the program's own CPU: measures the lateness of its event loop, limits the requests that it
takes up, and sheds the least important ones first."""

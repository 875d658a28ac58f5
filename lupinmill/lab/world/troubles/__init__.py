"""What goes wrong on a site: `plan` draws a scenario's troubles and puts them on the timeline; the other
modules carry each kind out, by what it meets."""

"""Tasks that choose a back end for each attempt, and the decision records for `explain`."""

Feature: A back end that is registered and answers is used, whoever else is registered at its address

  # Two of nine engines got no request any more, and never the new weights, though they were registered
  # and idle; what they would have served went to the others for the rest of the day.
  # Order of events: two engines crashed and their registrations ended; started again, they registered
  # under new names at the same addresses; 0.1 s later the entries of the ended ones came once more,
  # and ended 4 s later.
  # Cause: who owns an address was decided by which entry came last; the other one was forgotten with
  # its key. The live one had nothing more to say, and nothing brought it back when the other ended.
  # Evidence: `back_end_displaced instance=(live) by=(ended)` at all seven nodes, then `back_end_gone`
  # of the ended one and no event of the live one; orders to the ended one came back `wrong_instance`
  # and nothing followed from it.
  Scenario: The entry of an ended run comes once more, and ends
    Given 3 nodes, and an address at which "B" runs
    When its registrations are "A+ A- B+ A+ A-"
    Then every node has its requests answered by "B"

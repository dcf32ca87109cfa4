Feature: Concurrent compare-and-swap operations are linearizable
  Leases are built on compare-and-swap: a swap that is applied twice, or reported wrongly after a lost
  answer, would give one lease to two nodes.

  Scenario Outline: Clients read and swap one key concurrently under faults
    When 5 clients run 12 operations each on one key with <fault>, for seeds 1 to 8
    Then every history is linearizable
    And the histories hold at least <lost> lost answers and <won> won swaps

    Examples:
      | fault                       | lost | won |
      | no fault                    | 0    | 80  |
      | a third of answers lost     | 60   | 60  |
      | outages                     | 0    | 35  |
      | slowness beyond the timeout | 30   | 60  |

  Scenario Outline: The checker rejects histories that are impossible for a register
    When the history "<history>" is checked
    Then the checked history is <verdict>

    Examples:
      | history                                              | verdict          |
      | write 1 [0-1], read 1 [2-3]                          | linearizable     |
      | write 1 [0-1], read 0 [2-3]                          | not linearizable |
      | write 1 [0-5], read 0 [1-2], read 1 [3-4]            | linearizable     |
      | write 1 [0-5], read 1 [1-2], read 0 [3-4]            | not linearizable |
      | write 1 [0-?], read 0 [2-3], read 1 [4-5]            | linearizable     |
      | write 1 [0-?], read 1 [2-3], read 0 [4-5]            | not linearizable |
      | write 1 [0-?], read 0 [2-3]                          | linearizable     |
      | read 1 [0-1], write 1 [2-3]                          | not linearizable |

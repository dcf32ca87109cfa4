Feature: A prompt block that crashes back ends is quarantined at all nodes

  Back ends crash as they begin to write an answer to any prompt that has the block. No two requests
  are alike; sound ones have the same caller and the same other blocks.

  Scenario: Requests that share one prompt block do not crash back end after back end
    Given 7 nodes and 9 back ends that crash on a prompt block
    When callers send 30 sound requests a second for 40 seconds
    And 3 requests a second have the fatal block from second 5 on
    Then at most 3 requests with it reach back ends from 3 seconds after the fifth crash on
    And sound requests are then answered at least half as often as before

  Scenario Outline: The block is found wherever it stands in the prompts and however often it comes
    Given <nodes> nodes and <back_ends> back ends that crash on a prompt block
    And the fatal block stands <place>
    When callers send 20 sound requests a second for 34 seconds
    And <rate> requests a second have the fatal block from second 5 on
    Then at most 3 requests with it reach back ends from 3 seconds after the fifth crash on
    And sound requests with the first block "a1" are then answered at least half as often as before

    Examples:
      | nodes | back_ends | rate | place                         |
      | 7     | 9         | 1    | under a frequent first block  |
      | 7     | 9         | 10   | under a frequent first block  |
      | 7     | 9         | 3    | under a first block of its own |
      | 7     | 9         | 3    | first                         |
      | 7     | 9         | 3    | above blocks of its own       |
      | 1     | 6         | 3    | under a frequent first block  |
      | 3     | 12        | 20   | under any first block         |

  Scenario Outline: The block is found despite a disturbance
    Given 7 nodes and 9 back ends that crash on a prompt block
    When callers send 20 sound requests a second for 34 seconds
    And 3 requests a second have the fatal block from second 5 on
    And <disturbance>
    Then at most 3 requests with it reach back ends from 3 seconds after the fifth crash on
    And sound requests are then answered at least half as often as before

    Examples:
      | disturbance                                                |
      | two nodes are killed after the third crash and start again |
      | a node starts after the fifth crash                        |
      | all nodes are killed 2 seconds after the fifth crash and start again |
      | the store does not respond from second 4 on                |
      | a fifth of the datagrams between nodes is lost             |
      | a back end crashes each 1.5 seconds for other reasons      |

  # Nodes of different groups exchange gossip through the heads of their groups.
  Scenario: Nodes of other groups count the same crashes
    Given 40 nodes in 4 zones and 16 back ends that crash on a prompt block
    When callers send 20 sound requests a second for 25 seconds
    And 4 requests a second have the fatal block from second 5 on
    Then at most 3 requests with it reach back ends from 3 seconds after the fifth crash on
    And sound requests are then answered at least half as often as before

  Scenario: Nodes of other groups count the same crashes while the store does not respond
    Given 40 nodes in 4 zones and 16 back ends that crash on a prompt block
    When callers send 20 sound requests a second for 22 seconds
    And 4 requests a second have the fatal block from second 5 on
    And the store does not respond from second 4 on
    Then at most 3 requests with it reach back ends from 3 seconds after the fifth crash on

  Scenario: Nothing is refused when back ends crash in series for other reasons
    Given 7 nodes and 9 back ends that crash on a prompt block
    When callers send 20 sound requests a second for 34 seconds
    And a back end crashes each 1 seconds for other reasons
    Then no sound request is refused for its blocks

  Scenario: Callers are refused unrun, and log, metrics and the store tell why
    Given 7 nodes and 9 back ends that crash on a prompt block
    When callers send 20 sound requests a second for 25 seconds
    And 3 requests a second have the fatal block from second 5 on
    Then the last 10 requests with it get 503 with a Retry-After of about 10 minutes
    And the log gives "blocks_quarantined" and the block as the cause of these refusals
    And each node counts one quarantined group of blocks
    And the store holds the record of one group of blocks, "dead"

  Scenario Outline: A quarantine of a block ends after its duration, by an operator, or by an answer
    Given 3 nodes and 9 back ends that crash on a prompt block
    When callers send 5 sound requests a second for <seconds> seconds
    And 3 requests a second have the fatal block from second 5 to second 15
    And <event>
    And 1 request a second has the fatal block in the last 8 seconds
    Then <num> of the last requests reach back ends

    Examples:
      | event                                            | seconds | num     |
      | the record stays                                 | 30      | none    |
      | the record is deleted at second 18               | 30      | one     |
      | the fault is fixed and the record is deleted at second 18 | 30 | all     |

Feature: A node whose machine was suspended knows how long ago it learnt what it knows

  # A suspended machine does nothing for seconds, and the clock by which processes sleep leaves the
  # time out: leases, proofs and marks from before looked fresh as the node went on. Another clock
  # counts it. Found by reading what is promised of machines, not seen by users.
  Scenario Outline: What a node learnt before counts by the time that has really passed
    Given 3 nodes and 2 runners
    When the machine of the node that gives the orders is suspended for <seconds> seconds
    Then it <what> right after that

    Examples:
      | seconds | what                              |
      | 5       | does not hold the duty            |
      | 5       | has no proof of its configuration |
      | 1.5     | does not hold a turn to order     |
      | 0.1     | holds the duty                    |

  Scenario Outline: A node whose machine was suspended serves again as soon as it has news
    Given 3 nodes and 2 runners
    When the machine of the node that gives the orders is suspended for <seconds> seconds
    And 1 seconds pass after the suspension
    Then its proof of the configuration is less than 2 seconds old
    And it answers a request, and has told a deadline that ends with the caller's

    Examples:
      | seconds |
      | 5       |
      | 60      |

  Scenario: The clock of the program counts suspensions
    Given the program of a node
    Then it tells ages by the clock that counts them

  Scenario Outline: No part of a node's own state is aged by the clock that leaves suspensions out
    Given the modules of "weirscale.<package>"
    Then only "<timers>" read the loop's clock

    Examples: these set timers; what they read is compared with nothing that was learnt
      | package | timers            |
      | gateway | gossip_task ticks |
      | leases  |                   |

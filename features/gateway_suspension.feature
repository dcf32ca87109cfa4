Feature: A node whose machine was suspended knows the age of its state

  # Guards against outdated state that looks fresh after a suspension. A suspended machine does nothing
  # for seconds, and the clock that processes sleep by excludes this time. So leases, proofs and markers
  # from before the suspension looked fresh when the node resumed. The boot-time clock counts the time.
  Scenario Outline: State from before a suspension ages by the time that has really passed
    Given 3 nodes and 2 engines
    When the machine of the node that sends the orders is suspended for <seconds> seconds
    Then the node <state> right after that

    Examples:
      | seconds | state                             |
      | 5       | does not hold the duty            |
      | 5       | has no proof of its configuration |
      | 1.5     | does not hold the order fence     |
      | 0.1     | holds the duty                    |

  Scenario Outline: A node whose machine was suspended serves again as soon as its state is current
    Given 3 nodes and 2 engines
    When the machine of the node that sends the orders is suspended for <seconds> seconds
    And 1 seconds pass after the suspension
    Then the node's proof of the configuration is less than 2 seconds old
    And the node answers a request, and passes on a deadline that ends with the caller's

    Examples:
      | seconds |
      | 5       |
      | 60      |

  Scenario: The clock of the program counts suspensions
    Given the program of a node
    Then the program measures ages with the clock that counts suspensions

  Scenario Outline: No state of a node ages by the clock that excludes suspensions
    Given the modules of "weirscale.<package>"
    Then only "<timers>" read the event loop's clock

    Examples: these modules set timers and do not compare the time with that of any state
      | package | timers            |
      | gateway | gossip_task ticks |
      | leases  |                   |

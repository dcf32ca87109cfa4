Feature: Rollouts bring engines to the declared weights without losing capacity
  Guards against rollouts that take too many engines out of service, load too many at once, get stuck,
  or let two planners give orders, when engines, planners, weights or the key-value service fail.

  Scenario Outline: A rollout under a fault keeps its bounds
    Given 6 engines serve v1, <floor> must stay ready and <most> may load at once
    When v2 is declared and <fault>
    Then after <seconds> seconds <current> engines serve v2 and the rollout is <state>
    And never more than <most> engines loaded at once
    And never fewer than <floor> engines were ready, counting those lost to the fault as ready
    And no engine carried out a token below an earlier one
    And no token was used for two orders
    And no planner gave an order without its lease

    Examples:
      | fault                                            | floor | most | seconds | current | state            |
      | nothing fails                                    | 2     | 2    | 75      | 6       | done             |
      | nothing fails                                    | 4     | 3    | 75      | 6       | done             |
      | the weight store is slow                         | 2     | 2    | 150     | 6       | done             |
      | an engine crashes while it loads                 | 2     | 2    | 75      | 6       | done             |
      | an engine crashes while it serves                | 4     | 3    | 75      | 6       | done             |
      | an engine cannot be reached for a while          | 2     | 2    | 75      | 6       | done             |
      | an engine refuses orders for a while             | 4     | 3    | 100     | 6       | done             |
      | an engine leaves while it loads                  | 4     | 3    | 75      | 5       | short_of_engines |
      | an engine leaves while it serves                 | 4     | 3    | 100     | 5       | short_of_engines |
      | every load of v2 fails                           | 4     | 3    | 100     | 0       | stopped          |
      | the key-value service is down for a while        | 2     | 2    | 100     | 6       | done             |
      | answers of the key-value service are lost        | 2     | 2    | 75      | 6       | done             |
      | the planner is paused past its lease and resumes | 2     | 2    | 75      | 6       | done             |
      | the planner is replaced repeatedly               | 2     | 2    | 100     | 6       | done             |
      | two planners both consider the lease theirs      | 2     | 2    | 150     | 6       | done             |

  Scenario Outline: Planners with leases from the key-value service finish a rollout under its faults
    Given 6 engines serve v1, 2 must stay ready and 2 may load at once
    And the planner's lease comes from the key-value service
    When v2 is declared and <fault>
    Then after 100 seconds 6 engines serve v2 and the rollout is done
    And never more than 2 engines loaded at once
    And no engine carried out a token below an earlier one
    And no token was used for two orders
    And no planner gave an order without its lease

    Examples:
      | fault                                            |
      | nothing fails                                    |
      | the key-value service is down for a while        |
      | answers of the key-value service are lost        |
      | the holder is cut off from the key-value service |

  Scenario: The lease of a holder that is cut off goes to another planner
    Given 6 engines serve v1, 2 must stay ready and 1 may load at once
    And the planner's lease comes from the key-value service
    When v2 is declared and the holder is cut off from the key-value service
    Then after 100 seconds 6 engines serve v2 and the rollout is done
    And never more than 1 engines loaded at once
    And the other planner held the lease at the end of the cut
    And no planner gave an order without its lease

  Scenario: An order that provably was not delivered holds no load slot
    Given 6 engines serve v1, 2 must stay ready and 1 may load at once
    When v2 is declared and an engine refuses orders for a while
    Then after 150 seconds 6 engines serve v2 and the rollout is done
    And no load counted as failed

  Scenario: An engine that refuses every order does not delay the others
    Given 6 engines serve v1, 2 must stay ready and 1 may load at once
    When v2 is declared and an engine refuses orders forever
    Then after 150 seconds 5 engines serve v2 and the rollout is short_of_engines
    And the rollout stayed in this state for the last 20 s
    And no load counted as failed

  Scenario: Requests in flight at the start of a rollout finish on their version
    Given 6 engines serve v1, 2 must stay ready and 3 may load at once
    When v2 is declared and nothing fails
    Then after 75 seconds 6 engines serve v2 and the rollout is done
    And every request in flight before finished on v1

  Scenario: A stuck load is abandoned and counted as failed
    Given 6 engines serve v1, 2 must stay ready and 2 may load at once
    When v2 is declared and one load is stuck
    Then after 150 seconds 6 engines serve v2 and the rollout is done
    And never more than 2 engines loaded at once
    And never more than 2 engines read weights at once
    And the progress names 1 failed loads

  Scenario: A stuck load in the only slot holds it for a bounded time
    Given 6 engines serve v1, 2 must stay ready and 1 may load at once
    When v2 is declared and one load is stuck
    Then after 85 seconds 0 engines serve v2 and the rollout is rolling
    And never more than 1 engines read weights at once
    And the progress names 1 stuck loads

  Scenario: A rollout continues after a stuck load in its only slot
    Given 6 engines serve v1, 2 must stay ready and 1 may load at once
    When v2 is declared and one load is stuck
    Then after 200 seconds 6 engines serve v2 and the rollout is done
    And the progress names 1 failed loads
    And the progress names 0 stuck loads

  Scenario: A stuck load is replaced at once by another declared version
    Given 6 engines serve v1, 2 must stay ready and 2 may load at once
    When v2 is declared and while the first load is stuck v1 is declared
    Then after 30 seconds 6 engines serve v1 and the rollout is done

  Scenario Outline: A new version that fails costs no more engines than allowed
    Given 6 engines serve v1, 4 must stay ready and 2 may load at once
    And engines that fail to load are <treatment> when the rollout has stopped
    When v2 is declared and <fault>
    Then after 100 seconds 0 engines serve v2 and the rollout is stopped
    And <ready> engines still serve v1
    And never fewer than 4 engines were ready, counting those lost to the fault as ready
    And never more than 2 engines loaded at once
    And 2 loads of v2 were ordered
    And <back> loads of v1 were ordered
    And the progress names <failed> failed loads
    And the progress names a remedy

    Examples:
      | treatment | fault                                                             | ready | back | failed |
      | left      | every load of v2 fails                                            | 4     | 0    | 2      |
      | restored  | every load of v2 fails                                            | 6     | 2    | 2      |
      | restored  | every load of any version fails                                   | 4     | 2    | 4      |
      | restored  | every load of v2 fails and an engine crashes while it is restored | 6     | 2    | 3      |

  Scenario: A failed load is detected by the engine's report, not by its timeout
    Given 6 engines serve v1, 4 must stay ready and 2 may load at once
    When v2 is declared and every load of v2 fails
    Then after 25 seconds 0 engines serve v2 and the rollout is stopped

  Scenario Outline: An order that arrives late is valid for one run only
    When the order to load v2 arrives late and <fault> before
    Then the late order is <answer> and the engine serves <version>

    Examples:
      | fault               | answer           | version |
      | nothing fails       | accepted         | v2      |
      | the engine restarts | refused_mismatch | v1      |

  Scenario: A planner that takes over does not repeat role orders
    When the planner is replaced once all engines have their role
    Then each engine was ordered to its role once

  Scenario Outline: Declaring another version changes a running rollout
    Given 6 engines serve v1, 4 must stay ready and 2 may load at once
    When v2 is declared and <moment> <version> is declared
    Then after 150 seconds 6 engines serve <version> and the rollout is done
    And never more than 2 engines loaded at once
    And never fewer than 4 engines were ready, counting those lost to the fault as ready

    Examples:
      | moment                    | version |
      | while the first load runs | v1      |
      | while the first load runs | v3      |
      | halfway                   | v1      |
      | halfway                   | v3      |
      | after v2 has been stopped | v1      |
      | after v2 has been stopped | v3      |

  Scenario: A version is tried on one serving engine before it is loaded on more
    Given 6 engines serve v1, 4 must stay ready and 2 may load at once
    When v2 is declared and nothing fails
    Then only 1 engine loaded until the first one served v2

  Scenario: A floor that forbids every load is reported
    Given 6 engines serve v1, 6 must stay ready and 3 may load at once
    When v2 is declared and nothing fails
    Then after 50 seconds 0 engines serve v2 and the rollout is waiting_for_floor

  Scenario: Tokens are not reused after the placement record is lost
    Given 6 engines serve v1, 4 must stay ready and 2 may load at once
    When v2 is declared and the placement record is deleted
    Then after 150 seconds 6 engines serve v2 and the rollout is done
    And never fewer than 4 engines were ready, counting those lost to the fault as ready
    And no engine carried out a token below an earlier one

  Scenario: Adapters and roles follow the configuration, also after a crash
    Given 3 decode engines serve v1 with the adapter amharic declared
    When an engine crashes after the first orders
    Then every engine has the adapter amharic and the role decode
    When the adapter tigrinya is declared instead
    Then every engine has the adapter tigrinya and the role decode

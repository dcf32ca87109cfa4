Feature: Rollouts bring engines to the declared weights without losing capacity

  Scenario Outline: A rollout under a fault keeps its bounds
    Given 6 engines serve v1, <floor> must stay ready and <most> may load at once
    When v2 is declared and <fault>
    Then after <seconds> seconds <current> engines serve v2 and the rollout is <state>
    And never more than <most> engines loaded at once
    And never fewer than <floor> engines were ready, those lost to the fault aside
    And no engine carried out a token below an earlier one
    And no token named two orders
    And no planner gave an order without its lease

    Examples:
      | fault                                          | floor | most | seconds | current | state            |
      | nothing fails                                  | 2     | 2    | 75      | 6       | done             |
      | nothing fails                                  | 4     | 3    | 75      | 6       | done             |
      | the weight store is slow                       | 2     | 2    | 150     | 6       | done             |
      | an engine crashes while it loads               | 2     | 2    | 75      | 6       | done             |
      | an engine crashes while it serves              | 4     | 3    | 75      | 6       | done             |
      | an engine cannot be reached for a while        | 2     | 2    | 75      | 6       | done             |
      | an engine refuses orders for a while           | 4     | 3    | 100     | 6       | done             |
      | an engine leaves while it loads                | 4     | 3    | 75      | 5       | short_of_engines |
      | an engine leaves while it serves               | 4     | 3    | 100     | 5       | short_of_engines |
      | every load of v2 fails                         | 4     | 3    | 100     | 0       | stopped          |
      | the key-value service is down for a while      | 2     | 2    | 100     | 6       | done             |
      | answers of the key-value service are lost      | 2     | 2    | 75      | 6       | done             |
      | the planner is paused past its lease and wakes | 2     | 2    | 75      | 6       | done             |
      | the planner is replaced again and again        | 2     | 2    | 100     | 6       | done             |
      | two planners both believe to hold the lease    | 2     | 2    | 150     | 6       | done             |

  Scenario Outline: Planners with leases of the key-value service roll under its faults
    Given 6 engines serve v1, 2 must stay ready and 2 may load at once
    And the planner's lease comes from the key-value service
    When v2 is declared and <fault>
    Then after 100 seconds 6 engines serve v2 and the rollout is done
    And never more than 2 engines loaded at once
    And no engine carried out a token below an earlier one
    And no token named two orders
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

  Scenario: An order that certainly was not given holds no slot
    Given 6 engines serve v1, 2 must stay ready and 1 may load at once
    When v2 is declared and an engine refuses orders for a while
    Then after 150 seconds 6 engines serve v2 and the rollout is done
    And no load counted as failed

  Scenario: An engine that takes no order does not hold up the others
    Given 6 engines serve v1, 2 must stay ready and 1 may load at once
    When v2 is declared and an engine refuses orders for ever
    Then after 150 seconds 5 engines serve v2 and the rollout is short_of_engines
    And the rollout was nothing else in the last 20 s
    And no load counted as failed

  Scenario: Answers that run when a rollout begins finish on their version
    Given 6 engines serve v1, 2 must stay ready and 3 may load at once
    When v2 is declared and nothing fails
    Then after 75 seconds 6 engines serve v2 and the rollout is done
    And every answer that ran before finished on v1

  Scenario: A stuck load is given up and counted
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

  Scenario: A rollout goes on after a stuck load in its only slot
    Given 6 engines serve v1, 2 must stay ready and 1 may load at once
    When v2 is declared and one load is stuck
    Then after 200 seconds 6 engines serve v2 and the rollout is done
    And the progress names 1 failed loads
    And the progress names 0 stuck loads

  Scenario: A stuck load gives way at once to another version
    Given 6 engines serve v1, 2 must stay ready and 2 may load at once
    When v2 is declared and while the first load is stuck v1 is declared
    Then after 30 seconds 6 engines serve v1 and the rollout is done

  Scenario Outline: A new version that fails costs no more engines than allowed
    Given 6 engines serve v1, 4 must stay ready and 2 may load at once
    And engines that fail to load are <treatment> when the rollout has stopped
    When v2 is declared and <fault>
    Then after 100 seconds 0 engines serve v2 and the rollout is stopped
    And <ready> engines still serve v1
    And never fewer than 4 engines were ready, those lost to the fault aside
    And never more than 2 engines loaded at once
    And 2 loads of v2 were ordered
    And <back> loads of v1 were ordered
    And the progress names <failed> failed loads
    And the progress names a remedy

    Examples:
      | treatment | fault                                                           | ready | back | failed |
      | left      | every load of v2 fails                                          | 4     | 0    | 2      |
      | restored  | every load of v2 fails                                          | 6     | 2    | 2      |
      | restored  | every load of any version fails                                 | 4     | 2    | 4      |
      | restored  | every load of v2 fails and an engine crashes while it goes back | 6     | 2    | 3      |

  Scenario: A failed load is known by the engine's word, not by its time
    Given 6 engines serve v1, 4 must stay ready and 2 may load at once
    When v2 is declared and every load of v2 fails
    Then after 25 seconds 0 engines serve v2 and the rollout is stopped

  Scenario Outline: An order that arrives late is for one run only
    When the order of a decision for v2 arrives late and <fault> before
    Then the late order is <answer> and the engine serves <version>

    Examples:
      | fault               | answer           | version |
      | nothing fails       | accepted         | v2      |
      | the engine restarts | refused_mismatch | v1      |

  Scenario: A planner that takes over orders no role again
    When the planner is replaced once all engines have their role
    Then each engine was ordered to its role once

  Scenario Outline: Declaring another version changes a running rollout
    Given 6 engines serve v1, 4 must stay ready and 2 may load at once
    When v2 is declared and <moment> <version> is declared
    Then after 150 seconds 6 engines serve <version> and the rollout is done
    And never more than 2 engines loaded at once
    And never fewer than 4 engines were ready, those lost to the fault aside

    Examples:
      | moment                      | version |
      | while the first load runs   | v1      |
      | while the first load runs   | v3      |
      | half-way                    | v1      |
      | half-way                    | v3      |
      | after v2 has been stopped   | v1      |
      | after v2 has been stopped   | v3      |

  Scenario: A version is tried on one serving engine before it is loaded on more
    Given 6 engines serve v1, 4 must stay ready and 2 may load at once
    When v2 is declared and nothing fails
    Then only 1 engine loaded until the first one served v2

  Scenario: A floor that forbids every load is reported
    Given 6 engines serve v1, 6 must stay ready and 3 may load at once
    When v2 is declared and nothing fails
    Then after 50 seconds 0 engines serve v2 and the rollout is waiting_for_floor

  Scenario: A lost placement record does not bring tokens back
    Given 6 engines serve v1, 4 must stay ready and 2 may load at once
    When v2 is declared and the placement record is deleted
    Then after 150 seconds 6 engines serve v2 and the rollout is done
    And never fewer than 4 engines were ready, those lost to the fault aside
    And no engine carried out a token below an earlier one

  Scenario: Adapters and roles follow the configuration, also after a crash
    Given 3 decode engines serve v1 with the adapter amharic declared
    When an engine crashes after the first orders
    Then every engine has the adapter amharic and the role decode
    When the adapter tigrinya is declared instead
    Then every engine has the adapter tigrinya and the role decode

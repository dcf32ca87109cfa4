Feature: A service's traffic moves to a new version of its program, or back, under failure

  Scenario Outline: A version that is <version> ends <end>
    Given a rollout of a version that is "<version>"
    When it is played
    Then it ended "<end>" and nothing happened that must not
    And the operators read "<read>"
    And at least <served> of the requests were answered with success

    Examples: a share of the answers of sound versions fails too
      | version                     | end       | read               | served |
      | sound                       | completed | active, completed  | 0.97   |
      | failing always              | reverted  | active, reverted   | 0.95   |
      | failing half                | reverted  | active, reverted   | 0.95   |
      | failing half from 3 s on    | reverted  | active, reverted   | 0.95   |
      | failing on one route        | reverted  | active, reverted   | 0.95   |
      | five times slower           | reverted  | active, reverted   | 0.95   |
      | never there                 | reverted  | active, reverted   | 0.97   |
      | failing on one runner       | completed | active, completed  | 0.95   |

  Scenario Outline: A <version> version, and <fault> <at> s after the order
    Given a rollout of a version that is "<version>"
    When "<fault>" happens <at> s after the order
    Then it ended "<end>" and nothing happened that must not
    And at least <served> of the requests were answered with success

    Examples: "any end" where the fault may leave no time to try the version; never two ends
      | version      | fault                           | at  | end       | served |
      | sound        | the holder is killed            | 1.0 | completed | 0.95   |
      | sound        | the holder is killed            | 7.0 | completed | 0.95   |
      | sound        | the holder is cut off           | 2.0 | completed | 0.80   |
      | sound        | the holder is cut off           | 7.0 | any end   | 0.80   |
      | sound        | the store is down for 3 s       | 2.0 | any end   | 0.95   |
      | sound        | the store is down for 3 s       | 6.5 | any end   | 0.80   |
      | sound        | the store is slow               | 0.0 | completed | 0.95   |
      | sound        | answers of the store are lost   | 0.0 | any end   | 0.95   |
      | sound        | the store forgets its history   | 3.0 | completed | 0.95   |
      | sound        | all nodes are killed            | 3.0 | any end   | 0.75   |
      | sound        | all nodes are killed            | 7.0 | any end   | 0.75   |
      | sound        | a node starts                   | 3.0 | completed | 0.95   |
      | sound        | a node starts                   | 7.0 | completed | 0.95   |
      | sound        | one node is cut off for good    | 2.0 | any end   | 0.75   |
      | sound        | a target's runner crashes       | 3.0 | any end   | 0.93   |
      | sound        | an old runner crashes           | 3.0 | completed | 0.93   |
      | sound        | all targets crash               | 3.0 | reverted  | 0.90   |
      | sound        | the order is withdrawn          | 3.0 | reverted  | 0.97   |
      | sound        | the order is written again      | 3.0 | any end   | 0.95   |
      | sound        | another target is ordered       | 3.0 | any end   | 0.95   |
      | sound        | the old version is ordered      | 3.0 | any end   | 0.95   |
      | failing half | the holder is killed            | 1.0 | reverted  | 0.93   |
      | failing half | the holder is cut off           | 1.0 | reverted  | 0.78   |
      | failing half | the store is down for 3 s       | 0.8 | reverted  | 0.93   |
      | failing half | all nodes are killed            | 1.5 | reverted  | 0.70   |
      | failing half | one node is cut off for good    | 0.5 | reverted  | 0.70   |

  Scenario Outline: An order with <problem> harms nothing
    Given a rollout of a version that is "sound"
    When an order with "<problem>" is written instead
    Then all requests go on to the old version and no status is written
    And the log says "<log>"

    Examples:
      | problem              | log                |
      | no target            | state_unreadable   |
      | a deadline of 0      | state_unreadable   |
      | another service      | state_unreadable   |
      | no JSON              | state_unreadable   |

  Scenario: An order for a service that nobody knows ends as returned, and others are served
    Given a rollout of a version that is "sound"
    When an order for an unknown service is written
    Then operators read of it "reverted" by its deadline

  Scenario Outline: An order that stands as <state> without a record is not begun anew
    Given a rollout of a version that is "sound"
    When the store holds an order and the status "<state>" from before all nodes
    Then no record is written and requests go to "<version>"

    Examples:
      | state     | version |
      | completed | v2      |
      | reverted  | v1      |

  Scenario: A holder that wakes late changes nothing that another one has decided
    Given a record of which a holder knows an earlier revision
    When it writes the next stage
    Then the store's record is as before

  Scenario: After a returned rollout the next target is tried like the first
    Given a rollout of a version that is "failing always"
    When it is returned, and then a version "v3" is ordered that fails half of its answers
    Then no more requests tried "v3" than its share and the tolerance
    And the operators read of "v3" "active, reverted"

  Scenario: A stream that breaks at the target goes on at an old runner, whole and in order
    Given runners of streams of two versions of which the newer breaks every stream
    When 150 resumable streams are asked for while the newer is tried
    Then some of them began at the newer version
    And each caller got every event once and in order

  Scenario: A version on trial is no room: what the old runners cannot take is refused as before
    Given runners of streams of two versions of which the older is full
    When a request that would wait too long asks while the newer is tried
    Then it is told to come back, and the newer version got nothing

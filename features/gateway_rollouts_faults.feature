Feature: A rollout keeps its promises whatever fails on the way

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
      | sound        | the old version is ordered      | 7.0 | any end   | 0.95   |
      | sound        | all are killed, the old ordered | 7.0 | any end   | 0.75   |
      | failing half | the holder is killed            | 1.0 | reverted  | 0.93   |
      | failing half | the holder is cut off           | 1.0 | reverted  | 0.78   |
      | failing half | the store is down for 3 s       | 0.8 | reverted  | 0.93   |
      | failing half | all nodes are killed            | 1.5 | reverted  | 0.70   |
      | failing half | one node is cut off for good    | 0.5 | reverted  | 0.70   |

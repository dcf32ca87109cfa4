Feature: A rollout keeps its rules whatever fails meanwhile

  A fault hits the lease holder, the store, nodes or runners in the middle of a rollout, or the operator
  changes the order. The lease holder must continue from the record in the store. Still there must be at
  most one final state, no request at a version after its rollback, and a timely rollback of a bad version.

  Scenario Outline: A rollout of a <version> version when <fault> <at> s after the order
    Given a rollout of a version that is "<version>"
    When the fault "<fault>" happens <at> s after the order
    Then the rollout ended as "<end>" and violated no rule
    And at least <served> of the requests succeeded

    Examples: "any end" where the fault may leave too little time for canary requests; never two final states
      | version               | fault                                               | at  | end       | served |
      | sound                 | the lease holder is killed                          | 1.0 | completed | 0.95   |
      | sound                 | the lease holder is killed                          | 7.0 | completed | 0.95   |
      | sound                 | the lease holder is partitioned                     | 2.0 | completed | 0.80   |
      | sound                 | the lease holder is partitioned                     | 7.0 | any end   | 0.80   |
      | sound                 | the store is down for 3 s                           | 2.0 | any end   | 0.95   |
      | sound                 | the store is down for 3 s                           | 6.5 | any end   | 0.80   |
      | sound                 | the store is slow                                   | 0.0 | completed | 0.95   |
      | sound                 | answers of the store are lost                       | 0.0 | any end   | 0.95   |
      | sound                 | the store compacts its history                      | 3.0 | completed | 0.95   |
      | sound                 | all nodes are killed                                | 3.0 | any end   | 0.75   |
      | sound                 | all nodes are killed                                | 7.0 | any end   | 0.75   |
      | sound                 | another node starts                                 | 3.0 | completed | 0.95   |
      | sound                 | another node starts                                 | 7.0 | completed | 0.95   |
      | sound                 | a node stays partitioned                            | 2.0 | any end   | 0.75   |
      | sound                 | a target runner crashes                             | 3.0 | any end   | 0.93   |
      | sound                 | an old runner crashes                               | 3.0 | completed | 0.93   |
      | sound                 | all target runners crash                            | 3.0 | reverted  | 0.90   |
      | sound                 | the order is withdrawn                              | 3.0 | reverted  | 0.97   |
      | sound                 | the order is written again                          | 3.0 | any end   | 0.95   |
      | sound                 | another target is ordered                           | 3.0 | any end   | 0.95   |
      | sound                 | the old version is ordered                          | 3.0 | any end   | 0.95   |
      | sound                 | the old version is ordered                          | 7.0 | any end   | 0.95   |
      | sound                 | all nodes are killed and the old version is ordered | 7.0 | any end   | 0.75   |
      | failing half the time | the lease holder is killed                          | 1.0 | reverted  | 0.93   |
      | failing half the time | the lease holder is partitioned                     | 1.0 | reverted  | 0.78   |
      | failing half the time | the store is down for 3 s                           | 0.8 | reverted  | 0.93   |
      | failing half the time | all nodes are killed                                | 1.5 | reverted  | 0.70   |
      | failing half the time | a node stays partitioned                            | 0.5 | reverted  | 0.70   |

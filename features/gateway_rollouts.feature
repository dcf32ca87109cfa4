Feature: A rollout moves a service's traffic to a new version, or rolls it back

  An operator orders a rollout of a target version. Runners of a bad version fail, answer slowly or never
  start. The rollout must then be rolled back before many callers are affected, and a sound version must
  be completed. Requests must be neither lost nor repeated meanwhile.

  Scenario Outline: A rollout of a version that is <version> ends as <end>
    Given a rollout of a version that is "<version>"
    When the rollout runs
    Then the rollout ended as "<end>" and violated no rule
    And operators read the states "<states>"
    And at least <served> of the requests succeeded

    Examples: a single failing runner does not make a version bad, but may leave too little evidence
      | version                           | end       | states            | served |
      | sound                             | completed | active, completed | 0.97   |
      | failing always                    | reverted  | active, reverted  | 0.95   |
      | failing half the time             | reverted  | active, reverted  | 0.95   |
      | failing half the time from 3 s on | reverted  | active, reverted  | 0.95   |
      | failing on one route              | reverted  | active, reverted  | 0.95   |
      | five times slower                 | reverted  | active, reverted  | 0.95   |
      | never started                     | reverted  | active, reverted  | 0.97   |
      | failing on one runner             | any end   | any end           | 0.95   |

  Scenario Outline: An order with <problem> is ignored
    Given a rollout of a version that is "sound"
    When an invalid order with "<problem>" is written
    Then all requests still go to the old version and no status is written
    And the log contains the event "<log>"

    Examples:
      | problem         | log              |
      | no target       | state_unreadable |
      | a deadline of 0 | state_unreadable |
      | another service | state_unreadable |
      | invalid JSON    | state_unreadable |

  Scenario: An order for an unknown service is rolled back, and other services are served
    Given a rollout of a version that is "sound"
    When an order for an unknown service is written
    Then operators read the state "reverted" for the unknown service by its deadline

  Scenario Outline: An order with the status <state> but without a record is not started again
    Given a rollout of a version that is "sound"
    When the store holds an order and the status "<state>" before any node starts
    Then no rollout record is written and requests go to "<version>"

    Examples:
      | state     | version |
      | completed | v2      |
      | reverted  | v1      |

  Scenario: A lease holder that was suspended doesn't overwrite the decision of another holder
    Given a lease holder that knows only an earlier revision of the rollout record
    When the lease holder writes the next stage
    Then the record in the store is unchanged

  Scenario: After a rollback the next target gets canary requests like the first
    Given a rollout of a version that is "failing always"
    When it is rolled back, and then a version "v3" is ordered that fails half the time
    Then no more requests reached "v3" than the share and the tolerance allow
    And the states of the target "v3" were "active, reverted"

  # A starting node finds runners in the store, but not since when they run. A version whose runners
  # started 1 s before the nodes was mistaken for one that had served before, because the nodes count
  # from their own start: it got all requests at once when it was ordered.
  Scenario: A version whose runners started just before the nodes gets only canary requests
    Given a rollout of a version that is "failing half the time from 3 s on"
    When its runners start, all nodes restart 1 s later and it is ordered 2 s after that
    Then the rollout ended as "reverted" and violated no rule

  Scenario: The only serving version needs no canary requests, however recently the nodes started
    Given a rollout of a version that is "sound"
    When all nodes restart and the serving version is ordered 2 s after that
    Then the states of the target "v1" were "active, completed"
    And at least 0.97 of the requests succeeded

  Scenario: A stream that breaks at the target goes on there or is broken off, and others are complete
    Given streaming runners of two versions, of which the newer breaks every stream
    When 150 resumable streams are requested while the newer version is a canary
    Then some streams began at the newer version
    And each caller got events of one version only, once and in order, and no cut answer looks complete
    And each stream that the older version began is complete
    And the newer version got no more requests than its allowance

  Scenario: Streams continued at a canary use up its allowance
    Given streaming runners of two versions, of which the older is full
    When streams of both versions are to be continued while the newer version is a canary
    Then a few of the newer version may be, and none of the older as a canary

  Scenario: A canary version is no spare capacity: requests beyond the old runners' capacity are refused
    Given streaming runners of two versions, of which the older is full
    When a request that would wait too long arrives while the newer version is a canary
    Then the request is refused with Retry-After, and the newer version got no request

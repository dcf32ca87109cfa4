Feature: A service's traffic moves to a new version of its program, or back, under failure

  Scenario Outline: A version that is <version> ends <end>
    Given a rollout of a version that is "<version>"
    When it is played
    Then it ended "<end>" and nothing happened that must not
    And the operators read "<read>"
    And at least <served> of the requests were answered with success

    Examples: one runner that fails is no bad version, but may leave too little that is proved
      | version                     | end       | read               | served |
      | sound                       | completed | active, completed  | 0.97   |
      | failing always              | reverted  | active, reverted   | 0.95   |
      | failing half                | reverted  | active, reverted   | 0.95   |
      | failing half from 3 s on    | reverted  | active, reverted   | 0.95   |
      | failing on one route        | reverted  | active, reverted   | 0.95   |
      | five times slower           | reverted  | active, reverted   | 0.95   |
      | never there                 | reverted  | active, reverted   | 0.97   |
      | failing on one runner       | any end   | any end            | 0.95   |

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

  # A node that starts finds runners in the store, and not since when they are there. Taken for old,
  # a version whose runners came 1 s before the nodes got all requests at once when it was ordered:
  # the nodes' counts from their own start made it pass for one that had served before.
  Scenario: A version whose runners came just before the nodes started is tried like any new one
    Given a rollout of a version that is "failing half from 3 s on"
    When its runners come, all nodes start anew 1 s later and it is ordered 2 s after that
    Then it ended "reverted" and nothing happened that must not

  Scenario: A version that alone serves needs no trial, however young the nodes are
    Given a rollout of a version that is "sound"
    When all nodes start anew and the version that serves is ordered 2 s after that
    Then the operators read of "v1" "active, completed"
    And at least 0.97 of the requests were answered with success

  Scenario: A stream that breaks at the target goes on at an old runner, whole and in order
    Given runners of streams of two versions of which the newer breaks every stream
    When 150 resumable streams are asked for while the newer is tried
    Then some of them began at the newer version
    And each caller got every event once and in order

  Scenario: A version on trial is no room: what the old runners cannot take is refused as before
    Given runners of streams of two versions of which the older is full
    When a request that would wait too long asks while the newer is tried
    Then it is told to come back, and the newer version got nothing

Feature: Paths to back ends are checked often enough, never in a storm, and what is learnt is used
  Guards against checks without a limit, against a return that is found late, against relays that are asked
  again and again, and against failures on lost paths that count against back ends.

  Scenario: Requested checks of one path are at least a second apart
    Given a node with the back ends "a b" whose paths are sound
    When a check of the path to "a" is requested every 0.1 seconds for 5 seconds
    Then connections to "a" were opened 4 to 6 times

  Scenario: While all paths count as lost, other back ends are tried as well
    Given a node with the back ends "a b c d" whose paths are lost
    When "a" and "b" count as lost for 10 seconds
    Then connections to "c" and "d" were tried directly

  Scenario: The end of a loss is found although the back ends that were lost have ended
    Given a node with the back ends "a b c d" whose paths are lost
    When "a" and "b" count as lost for 5 seconds, and all paths but those to them come back
    Then some path counts as sound again

  Scenario Outline: A relay that has just failed is not asked again at once
    Given a node with the back ends "a" and <num> relays, of which the first fails
    When connections to "a" are opened 10 times at once and again after 5 seconds
    Then the first relay was asked at most once at each time

    Examples:
      | num |
      | 1   |
      | 2   |

  Scenario: The confirmation of a relay that a back end has ended is known when its connection fails
    Given a node with the back ends "a" and 1 relays, of which the first confirms its end
    When a connection to "a" fails
    Then "a" counts as unreachable for all

  Scenario: Failures on a lost path prove nothing about the back end
    Given a node with the back ends "a b" whose paths are lost
    When the path to "a" alone is lost
    Then failures at "a" prove nothing, and those at "b" do

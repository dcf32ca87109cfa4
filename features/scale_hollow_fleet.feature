Feature: Fleets of whole hollow nodes
  Every task of a node runs, in virtual time, before engines without bodies. The measured cost of
  a node is only worth something if the fleet has settled and does all of its work.

  Scenario Outline: A small fleet settles and stays within its bounds
    Given a hollow fleet of <nodes> nodes and <engines> engines with seed <seed>
    When it is started at once and measured at rest for 5 seconds
    Then every hollow node sees the whole fleet and every engine has a home
    And its nodes send at most <sent> bytes a second each and receive as much as is sent
    And its homes receive every cache event that <engines> engines publish
    And the key-value service gets at most <calls> calls a second

    Examples:
      | nodes | engines | seed | sent | calls |
      | 6     | 12      | 1    | 1900 | 5     |
      | 27    | 36      | 2    | 5300 | 5     |

  Scenario: The same seed gives the same figures
    Given a hollow fleet of 5 nodes and 8 engines with seed 3
    When it is measured twice
    Then both measurements have the same bytes, messages and calls

  Scenario: A small fleet meets the goals
    Given a hollow fleet of 12 nodes and 12 engines with seed 4
    When its goals are measured
    Then crashes, joins, changes and restarts stay below the bounds of the goals

  Scenario: A node that sees no other takes over few engines of other zones
    Given a hollow fleet of 1 nodes and 200 engines with seed 5
    When it runs alone for 5 seconds
    Then it is home of all engines of its zone and of 32 others

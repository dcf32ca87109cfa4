Feature: An unexpected error ends one piece of work, is reported, and ends no task and no process

  # Guards against one back end, entry, node or datagram that ends a process, and after its restart the next
  # one (VERSION, when it is the process that gives orders). Tasks that work for all back ends or nodes let
  # any error of one of them end the whole task group.
  Scenario Outline: Calls to one engine raise an error that is no failure of a call: <call>
    Given 3 nodes and 6 engines, of which one engine's calls raise an error at <call>
    When a new version of the weights is named
    Then the other 5 engines have the new version within 13 seconds
    And all tasks of all nodes are running
    And the errors are reported for that engine alone, with the kind of work and the place of the error

    Examples:
      | call         |
      | report       |
      | order        |
      | health_check |

  Scenario: The check of one path raises an unexpected error
    Given a node that checks two lost paths, one of which raises an error
    When 3 seconds pass for the checks
    Then the other path is regained, and the error is reported

  Scenario: A message of another node raises an unexpected error
    Given a node whose receiver fails for one message of two
    When both messages arrive
    Then the second one is processed, and the error is reported

  Scenario: A relayed connection raises an unexpected error
    Given a relay that fails for the first connection
    When two nodes ask it for a connection
    Then the second one is answered, and the error is reported

  Scenario: A change of the state raises an unexpected error
    Given a node whose state fails to apply a configuration
    When it reads the configuration and a registration
    Then the back end is used, and the error is reported for the key of the configuration

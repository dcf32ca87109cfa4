Feature: The directory of back ends

  Guards against new work for an engine that leaves or fails, against engines that get no work after
  they recover, against old reports that replace newer ones, and against load probes whose rate
  grows with the number of engines.

  Scenario Outline: A leaving engine gets no new work after the time bound, whatever the source of the statement
    Given a node that routes 40 requests a second to 4 engines
    When after 3 s engine 1 leaves according to <source>
    Then engine 1 had work before and gets none from 2 s after the statement
    And the other engines still get work

    Examples:
      | source                |
      | its load report       |
      | a refusal             |
      | the machine list      |
      | its home node         |

  Scenario Outline: A leaving engine gets work again only in a new run
    Given a node that routes 40 requests a second to 4 engines
    When after 3 s engine 1 leaves according to <source>
    And after 8 s the engine states that it stays, <as>
    Then engine 1 gets <work> in the last 5 s

    Examples:
      | source           | as                      | work    |
      | its load report  | in the same run         | no work |
      | its load report  | in a new run            | work    |
      | the machine list | in the same run         | no work |
      | the machine list | in a new run            | work    |

  Scenario Outline: An engine that fails gets little or no work until it recovers
    Given a node that routes 40 requests a second to 4 engines
    When from 3 s to 6 s engine 1 <fault>
    Then engine 1 gets at most <attempts> attempts from 5 s to 6 s
    And engine 1 gets between <least> and <most> attempts from <back> s on for 5 s

    Examples:
      | fault                       | attempts | least | most | back |
      | refuses connections         | 2        | 30    | 80   | 25   |
      | breaks every stream         | 2        | 30    | 80   | 25   |
      | answers wrongly             | 0        | 30    | 80   | 55   |
      | restarts under another run  | 16       | 30    | 80   | 25   |

  Scenario: A failure of the network to all engines leaves some engines to try
    Given a node that routes 40 requests a second to 4 engines
    When from 3 s to 6 s every engine refuses connections
    Then at least 30 requests a second are still routed to an engine from 4 s to 6 s
    And every engine gets work again from 20 s to 25 s

  Scenario: A restarted engine is chosen under its new run once the run is known
    Given a node that routes 40 requests a second to 4 engines
    When at 3 s engine 1 restarts at once
    Then at most 3 requests are refused because they name the old run
    And engine 1 gets work under run 2

  Scenario: An engine that drains before it loads another weight version is not tried after every report
    Given a node that routes 40 requests a second to 4 engines
    When from 3 s to 6 s engine 1 refuses as if it had another weight version
    Then engine 1 gets at most 0 attempts from 5 s to 6 s
    And engine 1 gets between 30 and 80 attempts from 25 s on for 5 s

  Scenario: Ports are created once and closed after the last answer
    Given a configuration of 3 engines
    When an engine with a request in flight for 20 s is removed from the configuration and another is added
    Then one port was created for each engine
    And only the port of the removed engine was closed, after 20 s

  Scenario Outline: An old report never replaces a newer one
    Given a configuration of 3 engines
    When a report of run <run> that is <age> s old states that version <version> is loaded
    Then the directory holds run <known_run> with version <known_version>

    Examples:
      | run | age | version | known_run | known_version |
      | 1   | 0   | v2      | 1         | v2            |
      | 1   | 9   | v2      | 1         | v1            |
      | 0   | 0   | v2      | 1         | v1            |
      | 2   | 0   | v2      | 2         | v2            |

  Scenario: An unavailable machine list changes nothing
    Given a node that routes 40 requests a second to 4 engines
    When the machine list marks engine 1 as leaving and is then unavailable
    Then engine 1 gets no work in the last 5 s

  Scenario Outline: An engine is probed only while its home node does not report for it
    Given a configuration of 3 engines
    When the home node of engine 1 reports its load every <interval> s from 10 s to <end> s
    Then engine 1 was probed every second before, not once from <start> s to <end> s, and again from <again> s
    And the other engines were probed all the time

    Examples:
      | interval | start | end | again |
      | 1        | 12    | 30  | 34    |
      | 7        | 18    | 52  | 70    |

  Scenario Outline: In a large deployment a node rarely probes other zones until it needs them
    Given a node in zone 0 of 300 engines in 3 zones
    When from 30 s to 90 s <fault>
    Then before 30 s the node probed each engine of its zone within 1 s and 0.6 to 1.4 others a second
    And from 60 s on the node probed <own> to <own_most> times a second in its zone and <other> to <other_most> in other zones

    Examples:
      | fault                                      | own  | own_most  | other | other_most |
      | nothing fails                              | 8    | 12        | 0.6   | 1.4        |
      | the engines of its zone refuse connections | 2.5  | 4.5       | 5     | 8          |

  Scenario Outline: A node bounds its probe rate whatever the number of engines
    Given a configuration of <engines> engines
    When the node has run for 60 s
    Then each engine was probed within 1 s of the start
    And the node probed between <least> and <most> times a second from 20 s on

    Examples:
      | engines | least | most |
      | 3       | 2.5   | 3.5  |
      | 100     | 8     | 12   |

Feature: The directory of back ends
  Scenario Outline: A leaving engine gets no new work after the bound, whatever the source
    Given a node that routes 40 requests a second to 4 engines
    When after 3 s engine 1 leaves as told by <source>
    Then engine 1 had work before and gets none from 2 s after the node could hear it
    And the other engines go on getting work

    Examples:
      | source                |
      | its load report       |
      | a refusal             |
      | the machine list      |
      | its home node         |

  Scenario Outline: A leaving engine gets work again only as a new run
    Given a node that routes 40 requests a second to 4 engines
    When after 3 s engine 1 leaves as told by <source>
    And after 8 s it says that it stays, <as>
    Then engine 1 gets <work> in the last 5 s

    Examples:
      | source           | as                      | work    |
      | its load report  | in the same run         | no work |
      | its load report  | in a new run            | work    |
      | the machine list | in the same run         | no work |
      | the machine list | in a new run            | work    |

  Scenario Outline: An engine that fails gets little or no work and comes back
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

  Scenario: A network that fails for all engines leaves some to try
    Given a node that routes 40 requests a second to 4 engines
    When from 3 s to 6 s every engine refuses connections
    Then at least 30 requests a second are still given an engine from 4 s to 6 s
    And every engine gets work again from 20 s to 25 s

  Scenario: A restarted engine is chosen under its new run once it is known
    Given a node that routes 40 requests a second to 4 engines
    When at 3 s engine 1 restarts at once
    Then at most 3 requests are refused for the old run
    And engine 1 gets work under run 2

  Scenario: An engine that drains before it loads other weights is not asked at every report
    Given a node that routes 40 requests a second to 4 engines
    When from 3 s to 6 s engine 1 refuses as if it had other weights
    Then engine 1 gets at most 0 attempts from 5 s to 6 s
    And engine 1 gets between 30 and 80 attempts from 25 s on for 5 s

  Scenario: Ports are made once and closed after the last answer
    Given a configuration of 3 engines
    When an engine that answers one more request for 20 s leaves the configuration and another joins
    Then one port was made for each engine
    And the port of the one that left was closed after 20 s and no other

  Scenario Outline: Old knowledge never replaces newer
    Given a configuration of 3 engines
    When a report of run <run> that is <age> s old says that version <version> is loaded
    Then the directory holds run <known_run> with version <known_version>

    Examples:
      | run | age | version | known_run | known_version |
      | 1   | 0   | v2      | 1         | v2            |
      | 1   | 9   | v2      | 1         | v1            |
      | 0   | 0   | v2      | 1         | v1            |
      | 2   | 0   | v2      | 2         | v2            |

  Scenario: A machine list that is down changes nothing
    Given a node that routes 40 requests a second to 4 engines
    When the machine list names engine 1 as leaving and is then down
    Then engine 1 gets no work in the last 5 s

  Scenario Outline: An engine is asked only while its home node does not report for it
    Given a configuration of 3 engines
    When its home node reports for engine 1 every <interval> s from 10 s to <end> s
    Then engine 1 was asked every second before, not once from <start> s to <end> s, and again from <again> s
    And the other engines were asked all the time

    Examples:
      | interval | start | end | again |
      | 1        | 12    | 30  | 34    |
      | 7        | 18    | 52  | 70    |

  Scenario Outline: In a large deployment a node asks other zones rarely until it needs them
    Given a node in zone 0 of 300 engines in 3 zones
    When from 30 s to 90 s <fault>
    Then before 30 s it asked each engine of its zone within 1 s and 0.6 to 1.4 others a second
    And from 60 s on it asked <near> to <near_most> times a second in its zone and <far> to <far_most> elsewhere

    Examples:
      | fault                                      | near | near_most | far | far_most |
      | nothing fails                              | 8    | 12        | 0.6 | 1.4      |
      | the engines of its zone refuse connections | 2.5  | 4.5       | 5   | 8        |

  Scenario Outline: A node bounds its probes whatever the number of engines
    Given a configuration of <engines> engines
    When the node has run for 60 s
    Then each engine was asked within 1 s of the start
    And the node asked between <least> and <most> times a second from 20 s on

    Examples:
      | engines | least | most |
      | 3       | 2.5   | 3.5  |
      | 100     | 8     | 12   |

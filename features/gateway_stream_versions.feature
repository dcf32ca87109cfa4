Feature: A stream goes on only at the service version that began it
  Guards against streams that hold events of two versions of a service, whose back ends serve side by
  side: within one answer, and over the tries of a caller that takes a stream up at any node. What is
  not known to fit is refused at once; what is known goes on.

  Scenario Outline: Streams go on within one answer at their own version, although <event>
    Given 4 nodes before back ends of the versions "<versions>"
    When 120 streams are sent and <event>
    Then no stream has events of two versions, or events missing or twice
    And at least 0.9 of the streams are complete

    Examples:
      | versions          | event                    |
      | v1 v1 v2 v2 v2    | back ends break them off |
      | v1 v1 v2 v2 v2    | back ends crash          |
      | v1 v1 v2 v2 v3 v3 | back ends break them off |
      | v1 v1 v1          | back ends break them off |

  Scenario Outline: Callers take streams up at their own version at another node, after <event>
    Given 7 nodes before back ends of the versions "v1 v1 v2 v2 v2"
    When streams are sent to all nodes, and <event>
    Then no stream has events of two versions, or events missing or twice
    And streams are taken up, and go on at nine tenths of the rate at which new ones begin

    Examples:
      | event                                                          |
      | a node is killed every second                                  |
      | nodes are restarted one after the other                        |
      | four of the nodes are killed at once                           |
      | nodes are killed while the store is down                       |
      | nodes are killed and a third of the datagrams is lost          |

  # Guards against streams that are joined from two versions without a sign after all nodes lost power at
  # once (ORDER): what a node that has just started reads proves nothing about what was there before.
  Scenario Outline: All nodes are killed at once and come back, <case>
    Given 4 nodes before back ends of the versions "v1 v1 v2 v2"
    When streams are sent to all nodes, and all nodes are killed at once and come back, <case>
    Then no stream has events of two versions, or events missing or twice
    And streams that begin after that are complete

    Examples:
      | case                                                             |
      | while both versions serve                                        |
      | as the old version has just left                                 |
      | as the old version leaves meanwhile                              |
      | twice, as the old version has just left                          |
      | as the old version has just left, and the settings still say that the system starts for the first time |
      | as the old version has just left, and the store is back from a copy of before it came |
      | as the old version has just left, and the store is back from a copy and the settings say first start |

  # Guards against the same where a back end registers another version under the id that it had.
  # Cause: the registration was overwritten, and the version that it had stated was not known as ended.
  Scenario: A back end is back under its id at another version
    Given 4 nodes before back ends of the versions "v1"
    When 12 seconds later the back end is back as "v2" under its id, and its streams are taken up
    Then no stream has events of two versions, or events missing or twice

  Scenario Outline: A take-up whose version is not known is refused at once, unrun, <case>
    Given 7 nodes before back ends of the versions "v1 v1 v2 v2 v2"
    When a stream is taken up <case>
    Then the take-up is refused with 503 and Retry-After within 0.5 seconds
    And no back end has run the take-up
    And a log line and a metric tell "<known_by>"

    Examples:
      | case                                              | known_by |
      | that no node has seen                             | unknown  |
      | without naming the try that began it              | unknown  |
      | at a node whose datagrams are all lost            | unknown  |
      | whose id another caller used at another version   | conflict |

  Scenario Outline: Without the word of a node, a take-up goes on while one version is proved to be the only one
    Given 4 nodes before back ends of the versions "<versions>"
    When <before>, and a stream is taken up that no node has seen
    Then the take-up <end>

    Examples:
      | versions | before                                           | end                    |
      | v1 v1 v1 | 12 seconds pass                                  | goes on                |
      | v1 v1 v1 | 12 seconds pass and the store is then down       | is refused and not run |
      | v1 v1 v1 | 1 second passes after the system's first start   | goes on                |
      | v1 v1 v1 | 1 second passes after a restart of the node      | is refused and not run |
      | v1 v1 v1 | 12 seconds pass after a restart of the node      | goes on                |
      | v1 v1 v1 | a v2 was there for 2 seconds, 5 seconds ago      | is refused and not run |
      | v1 v1 v1 | a v2 was there for 2 seconds, 12 seconds ago     | goes on                |

  Scenario Outline: A stream whose version has no back end left <end>
    Given 4 nodes before back ends of the versions "v1 v2 v2"
    When a stream of "v1" loses the only back end of its version, <when>
    Then no stream has events of two versions, or events missing or twice
    And the stream <end> within 0.5 seconds

    Examples:
      | when               | end                                             |
      | within one answer  | is broken off visibly                           |
      | before its take-up | is refused with 503 and Retry-After, and unrun  |

  Scenario: A silent back end is not left while no other one has the stream's version
    Given 4 nodes before back ends of the versions "v1 v2 v2"
    When the only back end of "v1" is silent for 2 seconds in the middle of a stream
    Then that stream is complete, and its back end has run it once

  Scenario: A stream begun by a node of the release before is not guessed at by newer nodes
    Given 7 nodes before back ends of the versions "v1 v1 v2 v2 v2", of which 3 are of the release before
    When streams are sent to all nodes, and a node of this release is killed every second
    Then no stream that nodes of this release alone took part in has events of two versions
    And take-ups at nodes of this release of streams that they began go on at nine tenths of the rate of new ones

  Scenario: A taken-up stream goes on at the service of a split that began it
    Given 4 nodes before a route that is split evenly between two services
    When 40 streams are broken off by their node and taken up at another
    Then no stream has events of two services
    And at least 0.9 of the streams are complete

  Scenario: Word of many streams uses a bounded amount of memory, and the oldest is forgotten first
    Given a store of stream origins
    When 100000 streams begin
    Then at most 20000 origins are stored, and they are the latest

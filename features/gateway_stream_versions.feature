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

Feature: A node follows the stored state, ignores outdated changes, and serves API keys only while its configuration is proved current

  Scenario Outline: A new configuration takes effect in time despite faults of the store
    Given a node that has configuration 3
    When configuration <next> is written during the store fault "<fault>"
    Then within <seconds> seconds configuration <expected> is in force at the node

    Examples: fault of the store, version written, time limit, and version in force at that time
      | fault      | next | seconds | expected |
      | none       | 4    | 0.1     | 4        |
      | none       | 2    | 1.0     | 3        |
      | compaction | 4    | 2.0     | 4        |
      | outage     | 4    | 3.5     | 4        |
      | silence    | 4    | 5.0     | 4        |
      | bad JSON   | 4    | 1.0     | 3        |

  Scenario Outline: A request with an API key gets <status> after <seconds> seconds of the fault <fault>
    Given a node that has configuration 3 with a tenant
    When the store has the fault "<fault>" for <seconds> seconds
    And a request with the tenant's API key is sent
    Then the caller gets status <status>

    Examples: an API key is served only while the configuration is proved current
      | fault       | seconds | status |
      | none        | 1       | 200    |
      | outage      | 1       | 200    |
      | a cut watch | 5       | 200    |
      | outage      | 5       | 503    |
      | silence     | 5       | 503    |

  Scenario: A revoked API key is refused in time although watches report the change late
    Given a node that has configuration 3 with a tenant
    When the API key is revoked while watches report nothing for 1 second, and then the store's history is compacted
    And requests with the tenant's API key are sent for 8 seconds
    Then no request sent 2 seconds or more after the change is served

  Scenario: A revoked API key is refused in time although the watch never reports the change
    Given a node that has configuration 3 with a tenant
    When the API key is revoked while watches report nothing any more
    And requests with the tenant's API key are sent for 8 seconds
    Then no request sent 4.8 seconds or more after the change is served

  Scenario Outline: The configuration in force decides which requests are refused
    Given a node that has configuration 3 with a tenant
    When a request for "<path>" on host "<host>" with API key "<key>" is sent
    Then the caller gets status <status>

    Examples:
      | path     | host         | key      | status |
      | /k/x     | h.example    | good     | 200    |
      | /k/x     | H.EXAMPLE    | good     | 200    |
      | /k/x     | h.example:80 | good     | 200    |
      | /k/x     | h.example    | bad      | 401    |
      | /k/x     | h.example    |          | 401    |
      | /k       | h.example    | good     | 404    |
      | /kk/x    | h.example    | good     | 404    |
      | /k/x     | other        | good     | 404    |
      | /k/deep/ | h.example    |          | 200    |

  Scenario: A node without a configuration answers 503 and is not ready
    Given a node whose store holds no configuration
    When a request for "/k/x" on host "h.example" with API key "good" is sent
    Then the caller gets status 503
    And the node is not ready

  Scenario Outline: A back end that is <change> gets no request
    Given a node that has configuration 3 and two back ends
    When the first back end is <change>
    And 10 requests are sent after 0.1 seconds
    Then the first back end gets none of the requests

    Examples:
      | change       |
      | leaving      |
      | deregistered |
      | replaced     |

  Scenario Outline: A back end that is <change> gets no request even if <store> afterwards
    Given a node that has configuration 3 and two back ends
    When the first back end is <change>
    And <store> starting 0.2 seconds later
    And 10 requests are sent after 0.1 seconds
    And 10 requests are sent after <seconds> seconds
    Then the first back end gets none of the requests

    Examples:
      | change       | store               | seconds |
      | leaving      | the store is down   | 3       |
      | leaving      | the store is silent | 3       |
      | deregistered | the store is silent | 3       |
      | leaving      | the store is down   | 20      |

  Scenario: Back ends whose registrations lapsed in a store outage serve again once they have registered again
    Given a node that has configuration 3 and two back ends
    When all registrations lapse while the store is down for 3 seconds
    And the back ends register again 1.2 seconds later
    And 10 requests are sent after 0.5 seconds
    Then all requests are answered with status 200

  Scenario: Back ends whose registrations lapsed in a store outage keep serving until they have registered again
    Given a node that has configuration 3 and two back ends
    When all registrations lapse while the store is down for 3 seconds
    And 10 requests are sent after 0.9 seconds
    And the back ends register again 0.3 seconds later
    And 10 requests are sent after 2.5 seconds
    Then all requests are answered with status 200

  Scenario Outline: A back end whose registration ends <when> gets <share>
    Given a node that has configuration 3 and two back ends
    When the registration of the first back end, "<state>" before, ends <when>
    And 20 requests are sent after <seconds> seconds
    Then the first back end gets <share>

    Examples: a recovered store reports at once what ended during its outage; a back end must register again within 2 s
      | when                               | state    | seconds | share                |
      | while the store is up              | ready    | 1       | none of the requests |
      | while the store is down            | ready    | 0.9     | some of the requests |
      | while the store is down            | ready    | 3.5     | none of the requests |
      | while the store is down            | draining | 0.9     | none of the requests |
      | a while after the store's recovery | ready    | 0.5     | none of the requests |

  Scenario: Of the registrations that end during a store outage, only those of ready back ends are kept
    Given a node with a ready and a leaving back end
    When both registrations end 3 seconds into a store outage
    Then the ready back end is kept as lapsed, and the leaving one is removed

  Scenario Outline: The first node <does> after <nodes> could not reach <target> for <seconds> seconds
    Given a fleet of 4 nodes with a tenant's route
    When <nodes> cannot reach <target> for <seconds> seconds
    Then the first node <does> at the end, and a request with an API key gets <status> there
    And one second after that the first node is ready and serves again

    Examples:
      | nodes          | target                        | seconds | does                                | status |
      | the first node | the store and the other nodes | 4       | is not ready and closes connections | 200    |
      | the first node | the store and the other nodes | 6       | is not ready and closes connections | 503    |
      | the first node | the store                     | 6       | is ready and keeps connections open | 200    |
      | the first node | the other nodes               | 6       | is ready and keeps connections open | 200    |
      | every node     | the store                     | 6       | is ready and keeps connections open | 503    |

  Scenario: A registration that differs only in its sequence number changes nothing
    Given a node that has configuration 3 and two back ends
    When the first back end registers 20 times with a new sequence number each time
    Then the node logs no change of a back end and keeps the back end's record

  Scenario: The back end receives the tenant's name but not its API key
    Given a node that has configuration 3 with a tenant
    When a request for "/k/x" on host "h.example" with API key "good" is sent
    Then the back end received the tenant name "t1" and no API key

  Scenario: A split route distributes requests by weight
    Given a node whose route splits requests with weight 70 to "orders" and 30 to "others"
    When 100 requests are sent after 0.1 seconds
    Then "orders" gets 70 and "others" 30 of the requests

  Scenario: A full read that newer changes have overtaken removes nothing
    Given a node that does a full read while a reader reports a new back end
    When the full read returns the state from before the registration
    Then the back end stays known throughout, and the full read is repeated once

  Scenario: Changes in quick succession cost few watch calls and are known in time
    Given a node that has configuration 3 and two back ends
    When 50 back ends register within 0.5 seconds
    Then the node knows all back ends 0.2 seconds later, after at most 8 watch calls

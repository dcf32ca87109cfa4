Feature: A node follows the platform's state, never goes back, and serves keys only on proof

  Scenario Outline: A configuration is in force at once and whatever the store does
    Given a node that has configuration 3
    When the store suffers "<fault>" while configuration <next> is written
    Then within <seconds> seconds the node has configuration <expected>

    Examples: fault, version written, and what is in force by when
      | fault       | next | seconds | expected |
      | none        | 4    | 0.1     | 4        |
      | none        | 2    | 1.0     | 3        |
      | compaction  | 4    | 2.0     | 4        |
      | outage      | 4    | 3.5     | 4        |
      | silence     | 4    | 5.0     | 4        |
      | nonsense    | 4    | 1.0     | 3        |

  Scenario Outline: A request with a key after <fault> of <seconds> seconds gets <status>
    Given a node that has configuration 3 with a tenant
    When the store suffers "<fault>" for <seconds> seconds
    And a request with the tenant's key is sent
    Then the caller gets status <status>

    Examples: a key is served only while the configuration is proved to be current
      | fault       | seconds | status |
      | none        | 1       | 200    |
      | outage      | 1       | 200    |
      | a cut watch | 5       | 200    |
      | outage      | 5       | 503    |
      | silence     | 5       | 503    |

  Scenario: A key that was taken away serves no more, although watches are told late
    Given a node that has configuration 3 with a tenant
    When watches hear nothing for 1 second while the key is taken away, then history is dropped
    And requests with the tenant's key are sent for 8 seconds
    Then none that was sent 2 seconds after the change is served

  Scenario: A key that was taken away serves no more, although the watch stays deaf
    Given a node that has configuration 3 with a tenant
    When watches hear nothing for good while the key is taken away
    And requests with the tenant's key are sent for 8 seconds
    Then none that was sent 4.8 seconds after the change is served

  Scenario Outline: What no configuration allows is refused by the table in force
    Given a node that has configuration 3 with a tenant
    When a request to "<path>" of "<host>" with key "<key>" is sent
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

  Scenario: A node without a configuration says so, and is not ready
    Given a node and a store without a configuration
    When a request to "/k/x" of "h.example" with key "good" is sent
    Then the caller gets status 503
    And the node is not ready

  Scenario Outline: A back end that is <change> gets no request
    Given a node that has configuration 3 and two back ends
    When the first back end is <change>
    And 10 requests are sent after 0.1 seconds
    Then the first back end gets none of them

    Examples:
      | change   |
      | leaving  |
      | gone     |
      | replaced |

  Scenario Outline: A back end whose leaving is known gets no request, <store> afterwards
    Given a node that has configuration 3 and two back ends
    When the first back end is <change>
    And <store> from 0.2 seconds later
    And 10 requests are sent after 0.1 seconds
    And 10 requests are sent after <seconds> seconds
    Then the first back end gets none of them

    Examples:
      | change  | store                     | seconds |
      | leaving | the store is down         | 3       |
      | leaving | the store is silent       | 3       |
      | gone    | the store is silent       | 3       |
      | leaving | the store is down         | 20      |

  Scenario: Back ends whose registrations lapsed with the store serve again once they are back
    Given a node that has configuration 3 and two back ends
    When all registrations lapse while the store is down for 3 seconds
    And the back ends register again 1.2 seconds after it
    And 10 requests are sent after 0.5 seconds
    Then all of them are answered

  Scenario: Back ends whose registrations lapsed with the store serve on until they are back
    Given a node that has configuration 3 and two back ends
    When all registrations lapse while the store is down for 3 seconds
    And 10 requests are sent after 0.9 seconds
    And the back ends register again 0.3 seconds after it
    And 10 requests are sent after 2.5 seconds
    Then all of them are answered

  Scenario Outline: A registration that ends <when> gets <what>
    Given a node that has configuration 3 and two back ends
    When the registration of the first back end, "<state>" before, ends <when>
    And 20 requests are sent after <seconds> seconds
    Then the first back end gets <what>

    Examples: the store tells at once what ended while it was away; 2 s later it is too late to come back
      | when                   | state    | seconds | what         |
      | while the store is up  | ready    | 1       | none of them |
      | with the store away    | ready    | 0.9     | some of them |
      | with the store away    | ready    | 3.5     | none of them |
      | with the store away    | draining | 0.9     | none of them |
      | a while after the store's return | ready | 0.5 | none of them |

  Scenario: Of registrations that end with an outage of the store, only those of ready back ends are kept
    Given a node that knows a ready and a leaving back end
    When both registrations end 3 seconds into an outage of the store
    Then the ready one is kept as lapsed, and the leaving one is forgotten

  Scenario Outline: A node without proof of its configuration <does> when <who> cannot reach <what>
    Given a fleet of 4 nodes with a tenant's route
    When <who> cannot reach <what> for <seconds> seconds
    Then the first node <does> at the end, and a keyed request there gets <status>
    And one second after that it is ready and serves again

    Examples:
      | who            | what                    | seconds | does                         | status |
      | the first node | the store and the others | 4      | is not ready and sends on    | 200    |
      | the first node | the store and the others | 6      | is not ready and sends on    | 503    |
      | the first node | the store               | 6       | is ready and keeps callers   | 200    |
      | the first node | the others              | 6       | is ready and keeps callers   | 200    |
      | every node     | the store               | 6       | is ready and keeps callers   | 503    |

  Scenario: A sequence number alone changes nothing
    Given a node that has configuration 3 and two back ends
    When the first back end registers 20 times with another sequence number
    Then the node tells of no change and keeps what it knew

  Scenario: The tenant's name goes to the back end and its key does not
    Given a node that has configuration 3 with a tenant
    When a request to "/k/x" of "h.example" with key "good" is sent
    Then the back end saw the tenant "t1" and no key

  Scenario: A split gives each part its weight
    Given a node whose route splits 70 to "orders" and 30 to "others"
    When 100 requests are sent after 0.1 seconds
    Then "orders" got 70 and "others" 30 of them

  Scenario: A reading of everything that newer changes overtook drops nothing
    Given a node that reads everything while a reader tells it of a new back end
    When the reading ends with the state of before
    Then the back end is known all along, and everything was read once more

  Scenario: Changes that come together cost few watches, and are known in time
    Given a node that has configuration 3 and two back ends
    When 50 back ends register within 0.5 seconds
    Then the node knows them 0.2 seconds later, after at most 8 watches

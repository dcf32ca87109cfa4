Feature: A request that cannot be encoded fails alone: no back end is blamed, and no other request suffers

  # Guards against callers or operators whose texts make every back end look down: a text that cannot stand in
  # an HTTP/1.1 message raised an error of the transport that is no failure of a call, in the middle of an
  # attempt, and was answered with a cut connection.
  Scenario Outline: A caller sends <part> that HTTP/1.1 cannot carry, over HTTP/2
    Given a node with two back ends
    When a request over HTTP/2 has <part>
    Then it is refused with 400 before it reaches a back end
    And the next request is answered, and no back end is suspected

    Examples:
      | part                          |
      | a line feed in a header       |
      | a zero byte in a header       |
      | a space in a header's name    |
      | a space in the path           |
      | a line feed in the query      |
      | a space in the method         |

  Scenario Outline: A tenant is named <name>
    Given a node with two back ends
    And the operators name a tenant <name>
    When the tenant sends a request
    Then it gets the status <status>, and the back end is told <told>
    And the next request is answered, and no back end is suspected

    Examples:
      | name          | status | told        |
      | "school"      | 200    | "school"    |
      | "ecole \u00e9" | 200    | "ecole \u00e9" |
      | "\u00c4\u4e2d" | 200    | "\u00c4\u4e2d" |
      | "a\nb"         | 503    | null        |
      | "\u0000"      | 503    | null        |

  Scenario: A request of HTTP/1.1 that cannot be encoded was never sent
    Given a server that "answers with a length"
    When a request with a line feed in a header is sent to it, and then a valid one
    Then the first one was never sent, its connection is closed, and the second one is answered

Feature: Bytes that are no answer, and come without end, end one call in time and in bounded memory

  # Guards against a back end in trouble that sends bytes without end until the caller closes: in calls of the
  # gateway itself nothing ended the reading (each part reset the time-out, no number of bytes was too
  # many), so a health check, a report, an order or a read of the store lasted for ever, and memory grew.
  Scenario Outline: A back end <sends> without end, in answer to <call>
    Given a server that "<sends> without end"
    When the gateway makes <call> to it, with 0.4 s for the answer
    Then the call has failed within 1.2 seconds
    And the connection is closed, after at most 3 MB
    And the next call, to a sound server, is answered

    Examples:
      | sends                              | call           |
      | sends informational answers        | a report       |
      | sends informational answers        | a health check |
      | sends informational answers        | a request      |
      | sends header fields                | a report       |
      | sends header fields                | a request      |
      | sends a status line                | a request      |
      | sends a body in chunks             | a report       |
      | sends a body in chunks             | a health check |
      | sends a body in chunks             | an order       |
      | sends a body in chunks             | a check of its run |
      | sends a body without length        | a report       |
      | sends a body of enormous length    | a report       |
      | sends one chunk's extension        | a report       |
      | sends trailer fields               | a report       |
      | trickles informational answers     | a report       |
      | trickles header fields             | a report       |
      | trickles a body in chunks          | a report       |
      | trickles a body without length     | a health check |
      | trickles a body in chunks          | an order       |

  Scenario: A small body that unpacks to a large one is not unpacked
    Given a server that "sends a body that unpacks without end"
    When the gateway makes a report to it, with 0.4 s for the answer
    Then the call has failed within 1.2 seconds
    And it took at most 20 MB of memory

  Scenario Outline: The store <sends> without end
    Given a server that "<sends> without end"
    When the gateway reads the store
    Then the call has failed within <most> seconds
    And the connection is closed, after at most 40 MB

    Examples:
      | sends                          | most |
      | sends informational answers    | 2    |
      | sends header fields            | 2    |
      | sends a body in chunks         | 12   |
      | trickles a body without length | 12   |

  # Guards against a node that runs out of memory, and with it all its requests, by the answers of one back end.
  Scenario Outline: A back end answers many callers with <what> that never ends, on a <kind> route
    Given a node with a sound back end and one that answers with <what> without end
    When 24 callers ask the second one on the <kind> route, and others the first one
    Then the node never holds more than 80 MB of answers
    And each of the 24 gets a failure or a broken answer, and none looks complete
    And the others are answered in time

    Examples:
      | what       | kind   |
      | a body     | whole  |
      | one event  | stream |

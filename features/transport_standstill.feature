Feature: A suspension of the transport's own process is not counted as silence of the server

  # Guards against the loss of good connections: after a suspension, the timeout of a connection would
  # pass before the process has read from its socket.
  Scenario Outline: A process that is suspended <when>
    Given a server in another thread that "<behaviour>"
    When the process is suspended for 0.7 seconds <when>, with timeouts of 0.5 seconds
    Then the request ends with "<outcome>" within 1.0 seconds

    Examples:
      | when                           | behaviour                   | outcome     |
      | while it connects              | answers at once             | answer      |
      | while it waits for the head    | answers 0.1 s later         | answer      |
      | while it waits for the body    | sends the body 0.1 s later  | answer      |
      | while it waits for the head    | never answers               | ReadTimeout |
      | while it waits for the body    | sends only the head         | ReadTimeout |

  Scenario: A request to a silent server times out while the process runs
    Given a server in another thread that "never answers"
    When a request is sent to it with timeouts of 0.5 seconds
    Then the request ends with "ReadTimeout" within 0.6 seconds

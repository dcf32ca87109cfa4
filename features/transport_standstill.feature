Feature: The transport does not take a standstill of its own process for silence of the server

  # Guards against good connections that were given up: after a standstill the time-out of a
  # connection was over before the process had looked at its socket.
  Scenario Outline: A process that stands still <when>
    Given a server of another thread that "<does>"
    When the process stands still for 0.7 seconds <when>, with time-outs of 0.5 seconds
    Then the request ends with "<outcome>" within 1.0 seconds

    Examples:
      | when                           | does                        | outcome     |
      | as it connects                 | answers at once             | answer      |
      | as it waits for the head       | answers 0.1 s later         | answer      |
      | as it waits for the body       | sends the body 0.1 s later  | answer      |
      | as it waits for the head       | never answers               | ReadTimeout |
      | as it waits for the body       | sends the head alone        | ReadTimeout |

  Scenario: A server that is silent while the process runs is given up in time
    Given a server of another thread that "never answers"
    When a request is sent to it with time-outs of 0.5 seconds
    Then the request ends with "ReadTimeout" within 0.6 seconds

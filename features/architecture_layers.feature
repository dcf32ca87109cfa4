Feature: Packages import only from their own layer and the layers below
  Imports across layers make rules depend on input and output, and let small changes affect distant
  modules. These checks read the imports from the sources.

  Scenario Outline: A package imports only what its layer allows
    Given the modules of "weirscale.<package>"
    When the imports of these modules from the project are listed
    Then each import is of one of "<allowed>"

    Examples:
      | package     | allowed                                                    |
      | domain      | domain messages                                            |
      | messages    | messages domain                                            |
      | ports       | ports domain messages                                      |
      | leases      | leases ports domain                                        |
      | standins    | standins domain messages ports                             |
      | node        | node domain messages ports leases                          |
      | gateway     | gateway domain ports leases                                |
      | experiments | experiments node domain messages ports standins            |
      | cli         | cli experiments gateway node domain messages ports standins |

  Scenario Outline: A package of the gateway imports only packages below it
    Given the modules of "weirscale.gateway.<package>"
    When the imports of these modules from the gateway are listed
    Then each import is of one of the gateway's "<allowed>"

    Examples: from the lowest layer up; `settings`, `ticks` and `durations` are single modules
      | package     | allowed                                                                                                              |
      | model       | model                                                                                                                |
      | ports       | ports model                                                                                                          |
      | state       | state ports model durations                                                                                          |
      | peers       | peers state ports model settings ticks                                                                               |
      | limits      | limits peers state model settings                                                                                    |
      | rollouts    | rollouts peers state ports model settings ticks                                                                      |
      | request_limits | request_limits peers state ports model settings ticks durations                                                  |
      | routing     | routing request_limits rollouts peers state ports model ticks                                                        |
      | quarantine  | quarantine peers state ports model ticks                                                                             |
      | weights     | weights routing peers state ports model ticks                                                                        |
      | replication | replication peers state ports model settings ticks durations                                                         |
      | gossip      | gossip streams replication quarantine routing request_limits rollouts limits peers state model settings ticks        |
      | telemetry   | telemetry quarantine routing limits ports model settings ticks                                                       |
      | paths       | paths peers state ports model settings ticks                                                                         |
      | streams     | streams peers state ports model settings ticks                                                                       |
      | requests    | requests streams telemetry quarantine weights routing rollouts limits paths peers state ports model settings ticks durations |

  Scenario: The modules of the gateway and of its adapter have no cyclic imports
    Given the modules of the gateway and of its adapter
    When the imports of these modules from one another are listed
    Then no module imports itself directly or through others

  Scenario: Modules, functions and constructors of the gateway and of its adapter stay small
    Given the modules of the gateway and of its adapter
    Then no module has over 350 lines, no function over 50 and no constructor over 10 arguments

  Scenario: Each mutation applies to exactly one place of the current code
    Given the table of mutations
    Then the text that each mutation replaces occurs once in its file, and its features exist

  Scenario Outline: Domain rules do no input or output and read no clock
    Given the modules of "weirscale.domain"
    When all imports of these modules are listed
    Then no import is of "<module>"

    Examples:
      | module     |
      | anyio      |
      | asyncio    |
      | trio       |
      | time       |
      | socket     |
      | httpx      |
      | hypercorn  |
      | threading  |
      | subprocess |

  Scenario Outline: The product starts no process and uses one concurrency library
    Given the modules of "weirscale"
    When all imports of these modules are listed
    Then no import is of "<module>"

    Examples:
      | module          |
      | subprocess      |
      | multiprocessing |
      | threading       |
      | asyncio         |
      | concurrent      |

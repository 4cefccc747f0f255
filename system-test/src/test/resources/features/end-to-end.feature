Feature: End-to-end requests through separate processes

  Background:
    Given a fleet of 2 entry daemons and 1 planner daemon with the example configuration

  Scenario: Chat completions are complete and a non-idempotent call runs once
    When organisation "mill-a" streams 20 tokens from "mill-a/furnish@1"
    Then the response is complete
    When organisation "mill-b" streams 20 tokens from "mill-b/line-1@1"
    Then the response is complete
    When organisation "mill-a" books with key "lot-7" through every entry daemon
    Then every caller is told that the call ran
    And the call with key "lot-7" ran once

  Scenario: An organisation cannot use the models of another organisation
    When organisation "mill-a" streams 5 tokens from "mill-b/furnish@1"
    Then the request is refused with status 404 and execution "not_run"

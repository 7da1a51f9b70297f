package lab

var demo, diskRestart Scenario

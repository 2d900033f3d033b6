#pragma once

// Valid objects of the platform's store, as written by the operator and by backend servers.

inline constexpr const char* configText = R"({"version":7,
  "routes":[{"name":"r1","host":"pule.example","pathPrefix":"/pu/","routeKind":"streaming",
     "timeoutMs":6000,"sloMs":1600,"priority":1,"split":[{"service":"m1","weight":90},
     {"service":"m2","weight":10}],"maxAttempts":2,"stages":[{"service":"k","after":[],
     "byteCount":1500000},{"service":"f","after":[0],"byteCount":60000}],"public":false,
     "sticky":true,"resumable":true,"itlTargetMs":800},
    {"name":"r2","host":"jepu.example","pathPrefix":"/c/","routeKind":"non_idempotent",
     "timeoutMs":1000,"sloMs":100,"service":"l","public":true,"unheardOf":[1]}],
  "services":[{"name":"m1","healthPath":"/healthz","maxConns":360,"coldStartS":3.0,
     "coldPerS":8.8,"runtime":{"slots":64,"kvCapacity":308065}},
    {"name":"k","segments":{"slots":1,"queue":2,"batch":8,"callMs":200.0,"itemMs":21.0,
     "headroomMb":18.0,"handleTtlS":4.0}}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
     "idleTimeoutMs":15000},
  "tenants":[{"name":"bozi","apiKeys":["a","b"],"priority":1},{"name":"free","apiKeys":[]}]})";

inline constexpr const char* serverText = R"({"service":"m1","addr":"10.128.0.9:8080","zone":"fes-a",
  "version":"v1","slots":64,"state":"ready","coldLeftMs":120,"seq":4,"born":1785116738020})";
